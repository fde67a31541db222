# What control costs at two small sizes. A test runs this file and judges only the counts:
#   bin/brassdale-lab scale scenarios/scale/small.hcl --out results/x
title        = "two small sizes"
settle       = "4s"
span         = "8s"
rest         = "4s"
bound        = "1s"
regions      = 3
zones        = 3
workers      = 18
accelerators = 27
teams        = 5
dispatchers  = 12
seats        = 3
set_aside    = 3
hollow       = 9
processes    = 3
rate         = 10

changes {
  every    = "1s"
  a_day    = 790
  restarts = "4s"
}

slope "dispatchers" { of = [12, 42] }
