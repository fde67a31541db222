# The scheduler compared with simple policies under faults: workers that freeze, fall silent, run slow or restart.
title = "module and policies on a troubled day"
seeds = 20

world {
  span = "40s"
}

fault "freeze" {
  at    = "5s"
  for   = "5s"
  share = 0.2
}
fault "silent" {
  at    = "14s"
  for   = "6s"
  share = 0.1
}
fault "slow" {
  at    = "18s"
  for   = "15s"
  share = 0.3
}
fault "restart" {
  at    = "24s"
  for   = "1s"
  share = 0.1
}

variant "module" {}
variant "random" { policy = "random" }
variant "round-robin" { policy = "round-robin" }
variant "least-outstanding" { policy = "least-outstanding" }
variant "two-choices" { policy = "two-choices" }
variant "lud" { policy = "lud" }
