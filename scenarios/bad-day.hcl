# Most kinds of faults, one after the other, for `brassdale-lab demo --scenario scenarios/bad-day.hcl`.
title = "a bad day"
seeds = 5

world {
  span = "60s"
  rate = 120
}

fault "freeze" {
  at    = "5s"
  for   = "5s"
  share = 0.2
}
fault "partition" {
  at    = "14s"
  for   = "6s"
  share = 0.15
}
fault "restart" {
  at    = "24s"
  for   = "1s"
  share = 0.3
}
fault "reset" {
  at    = "32s"
  for   = "1s"
  share = 0.5
}
fault "slow" {
  at    = "38s"
  for   = "8s"
  share = 0.3
}
fault "drain" {
  at    = "48s"
  for   = "4s"
  share = 0.2
}

fault "list-down" { # during the drain
  at    = "47s"
  for   = "3s"
  share = 1
}

variant "module" {}
