# What each failure costs at the size of the capacity plan, one run each; --only seat runs one of them:
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

# The machine of the leading voter is lost.
fault "seat" {
  at    = "20s"
  for   = "50s"
  after = "20s"
}

# A zone is lost with its workers, its voter and an eighth of the dispatchers.
fault "zone" {
  at    = "20s"
  for   = "50s"
  after = "20s"
  zone  = 1
}

# One region is cut off from the other two. It has two of the five voters.
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

# All dispatchers are killed, and restarted together a second later.
fault "together" {
  at    = "20s"
  for   = "1s"
  after = "40s"
}
