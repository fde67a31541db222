# Like plan.hcl, with as many dispatchers as today's ratio of dispatchers to workers gives for this size:
#   bin/brassdale-lab scale scenarios/scale/plan-800.hcl --seed 1 --out results/x
title        = "the plan's size, 800 dispatchers"
settle       = "26s"
span         = "40s"
rest         = "12s"
regions      = 3
zones        = 8
workers      = 530
accelerators = 830
teams        = 89
dispatchers  = 800
seats        = 5
set_aside    = 5
hollow       = 796
processes    = 8
bare         = 4
rate         = 31

changes {
  every    = "8s"
  a_day    = 790
  restarts = "10s"
}
