# What each failure costs at the plan's size, in a run of its own; --only seat plays one of them:
#   bin/brassdale-lab scale scenarios/scale/failures.hcl --seed 1 --out results/x
title        = "failures at the plan's size"
settle       = "26s"
span         = "60s"
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
bare         = 2
rate         = 31

changes {
  every    = "8s"
  a_day    = 790
  restarts = "10s"
}

# The machine of the seat that leads.
fault "seat" {
  at    = "20s"
  for   = "50s"
  after = "20s"
}

# A zone with its boxes, its seat and an eighth of the dispatchers.
fault "zone" {
  at    = "20s"
  for   = "50s"
  after = "20s"
  zone  = 1
}

# One region and the other two; the first has two of the five seats.
fault "regions" {
  at     = "20s"
  for    = "3m"
  after  = "20s"
  region = 1
}

fault "replaced" {
  at    = "20s"
  for   = "1m"
  after = "20s"
  count = 40
}

# All are killed, and start at once a second later.
fault "together" {
  at    = "20s"
  for   = "1s"
  after = "40s"
}
