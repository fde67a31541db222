# Hollow dispatchers compared with real ones, at a size at which both fit. Workers are few, so that the budget for probes limits
# no dispatcher. Real dispatchers then probe as much as bare ones, and the difference between them is the full cost of control.
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
