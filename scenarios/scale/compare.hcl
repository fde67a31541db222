# Hollow dispatchers beside real ones, where both fit. Workers are few, so that the budget for probes holds nobody back: real
# dispatchers then probe as much as bare ones do, and what control costs by difference lacks nothing.
#   bin/brassdale-lab scale scenarios/scale/compare.hcl --compare --seed 1 --out results/x
title        = "real and hollow"
settle       = "26s"
span         = "40s"
rest         = "12s"
regions      = 3
zones        = 8
workers      = 16
accelerators = 25
teams        = 89
dispatchers  = 48
seats        = 5
set_aside    = 5
hollow       = 48
processes    = 8
bare         = 4
rate         = 5

changes {
  every = "8s"
  a_day = 790
}
