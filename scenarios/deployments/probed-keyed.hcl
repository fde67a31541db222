# One class with idempotency keys, load reports by probe, workers that hang: 65% of capacity.
title = "probed-keyed"
seeds = 6

world {
  span        = "24s"
  rate        = 157.9
  dispatchers = 2
  subjects = 400
  queue = 10
}
kind "k1" {
  count = 9
  slots = 5
  speed = [0.85, 1.1]
}
kind "k2" {
  count = 4
  slots = 4
  speed = [0.64, 0.86]
}
class "price-part" {
  share = 1
  work = 0.2
  spread = 0.7
  aim = "200ms"
  stretch = 2.5
  give_up = "5s"
  worth = 1
  effect = "keyed"
  scope = "cell"
  window = "7500ms"
}
fault "freeze" {
  at = "5s"
  for = "8s"
  share = 0.15
}
fault "slow" {
  at = "14s"
  for = "8s"
  share = 0.3
}

variant "module" {}
variant "random" { policy = "random" }
variant "round-robin" { policy = "round-robin" }
variant "least-outstanding" { policy = "least-outstanding" }
variant "two-choices" { policy = "two-choices" }
variant "lud" { policy = "lud" }
