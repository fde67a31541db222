# The smallest deployment, one dispatcher with 3 workers: 60% of capacity.
title = "one-dispatcher"
seeds = 6

world {
  span        = "24s"
  rate        = 100.0
  dispatchers = 1
  answers = true
  pushed = true
  queue = 2
  subjects = 0
}
kind "k1" {
  count = 3
  slots = 4
  speed = [0.8, 1.2]
}
class "order" {
  share = 0.6
  work = 0.1
  spread = 0.4
  aim = "100ms"
  stretch = 3
  give_up = "3s"
  worth = 1
  effect = "unsafe"
}
class "status" {
  share = 0.4
  work = 0.03
  spread = 0.4
  aim = "80ms"
  stretch = 4
  give_up = "2s"
  worth = 1
  effect = "safe"
}

variant "module" {}
variant "random" { policy = "random" }
variant "round-robin" { policy = "round-robin" }
variant "least-outstanding" { policy = "least-outstanding" }
variant "two-choices" { policy = "two-choices" }
variant "lud" { policy = "lud" }
