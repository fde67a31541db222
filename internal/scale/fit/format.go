package fit

import (
	"math"
	"strconv"
)

// formatExact formats a number with all of its digits, as it was read.
func formatExact(number float64) string { return strconv.FormatFloat(number, 'f', -1, 64) }

// formatSixDigits formats a computed number with six significant digits, which hide the rounding errors of sums.
func formatSixDigits(number float64) string { return strconv.FormatFloat(number, 'g', 6, 64) }

// formatShort formats a number for tables: whole numbers exactly, others with about three significant digits.
func formatShort(number float64) string {
	switch magnitude := max(number, -number); {
	case number == math.Trunc(number) && magnitude < 1e15:
		return formatExact(number)
	case magnitude >= 100:
		return strconv.FormatFloat(number, 'f', 0, 64)
	case magnitude >= 10:
		return strconv.FormatFloat(number, 'f', 1, 64)
	case magnitude >= 0.1:
		return strconv.FormatFloat(number, 'f', 2, 64)
	default:
		return strconv.FormatFloat(number, 'g', 2, 64)
	}
}
