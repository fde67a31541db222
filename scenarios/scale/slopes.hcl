# What control costs at several sizes, one run each; --list names the runs, --only 3 runs one:
#   bin/brassdale-lab scale scenarios/scale/slopes.hcl --out results/x
title        = "what control costs by size"
seeds        = 2
settle       = "16s"
span         = "30s"
rest         = "10s"
regions      = 3
zones        = 8
workers      = 530
accelerators = 830
teams        = 89
dispatchers  = 300
seats        = 5
set_aside    = 5
hollow       = 298
processes    = 8
bare         = 2
rate         = 31

changes {
  every    = "4s"
  a_day    = 790
  restarts = "10s"
}

slope "dispatchers" { of = [75, 150, 300, 600, 800] }
slope "workers" { of = [100, 250, 530, 1060] }
slope "zones" { of = [4, 8, 16] }
slope "changes" { of = [2, 5, 10] }
