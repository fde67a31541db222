package operator

import (
	"net"
	"path/filepath"
	"time"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/fleet"
	"brassdale/internal/transport"
)

// readRetries reads the block "fleet".
func readRetries(file *File, reader *blockReader) {
	settings := transport.RetrySettings{}
	if !reader.decode(&settings) {
		return
	}
	if !(settings.RetryRatio >= 0 && settings.RetryRatio <= 10) {
		reader.addFault("retry_budget", "It must be between 0 and 10.")
	}
	file.Retries = &settings
}

// readFleet reads the block "council".
func readFleet(file *File, reader *blockReader) {
	settings := fleet.Default()
	if !reader.decode(&settings) {
		return
	}
	if settings.Name == "" {
		reader.addFault("fleet", "It must name the fleet.")
	}
	reader.checkAddress(settings.Listen, false, false)
	if err := settings.CheckVoters(); err != nil {
		reader.addFault("voters", "%v.", err)
	}
	if settings.Directory == "" {
		reader.addFault("directory", "It must name a directory.")
	} else if !filepath.IsAbs(settings.Directory) {
		settings.Directory = filepath.Join(reader.baseDir, settings.Directory)
	}
	if _, err := settings.Lease(); err != nil {
		reader.addFault("bound", `%q is not a duration of %v or more, such as "2s".`, settings.LeaseDuration, fleet.MinLease)
	}
	if _, err := settings.ReplaceAfterDuration(); err != nil {
		reader.addFault("replace", `%q is not a duration of %v or more, such as "30s".`, settings.ReplaceAfter, fleet.MinReplaceAfter)
	}
	for original, override := range settings.AddressOverrides {
		for _, address := range []string{original, override} {
			if _, _, err := net.SplitHostPort(address); err != nil {
				reader.addFault("reach", "%v.", err)
			}
		}
	}
	if settings.Rules != "" && !filepath.IsAbs(settings.Rules) {
		settings.Rules = filepath.Join(reader.baseDir, settings.Rules)
	}
	file.Fleet = &settings
}

// readOverload reads the block "overload".
func readOverload(file *File, reader *blockReader) {
	settings := fleet.Overload{}
	if !reader.decode(&settings) {
		return
	}
	if !(settings.RetryRatio >= 0 && settings.RetryRatio <= configversions.MaxRetryRatio) {
		reader.addFault("retries", "It must be between 0 and %d.", configversions.MaxRetryRatio)
	}
	if !(settings.ProbesPerSecond >= 0 && settings.ProbesPerSecond <= 1e6) {
		reader.addFault("probes", "It must be between 0 and a million per second.")
	}
	file.Overload = &settings
}

// readFailover reads the block "failover".
func readFailover(file *File, reader *blockReader) {
	settings := fleet.DefaultFailover()
	if !reader.decode(&settings) {
		return
	}
	seen := map[string]bool{}
	for _, region := range settings.Regions {
		for _, zone := range region.Zones {
			if zone == "" || seen[zone] {
				reader.addFaultIn(reader.firstNestedBody("region"), "zones", "The zone %q already has a region, or its name is empty.", zone)
			}
			seen[zone] = true
		}
	}
	if len(seen) < 2 || len(seen) > 64 {
		reader.addFault("region", "The regions must have 2 to 64 zones in total.")
	}
	if !(settings.Headroom >= 0 && settings.Headroom < 1) {
		reader.addFault("headroom", "It must be from 0 to less than 1.")
	}
	for name, text := range map[string]string{"return_in": settings.RecoveryRamp, "alone": settings.MaxTimeWithoutLease, "detect": settings.DetectionTime} {
		if d, err := time.ParseDuration(text); err != nil || d <= 0 {
			reader.addFault(name, `%q is not a duration above 0, such as "10s".`, text)
		}
	}
	file.Failover = &settings
}
