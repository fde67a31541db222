# What control costs at the size of the capacity plan:
#   bin/brassdale-lab scale scenarios/scale/plan.hcl --seed 1 --out results/x
title        = "the plan's size"
settle       = "26s"
span         = "40s"
rest         = "12s"
regions      = 3
zones        = 8
workers      = 530
accelerators = 830
teams        = 89
dispatchers  = 300
seats        = 5
set_aside    = 5
hollow       = 296
processes    = 8
bare         = 4
rate         = 31

changes {
  every    = "8s"
  a_day    = 790
  restarts = "10s"
}
