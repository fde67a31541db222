# Large fast workers next to small slow ones, heavy jobs: 70% of capacity.
title = "uneven-kinds"
seeds = 6

world {
  span        = "24s"
  rate        = 129.0
  dispatchers = 2
  answers = true
  queue = 2
  hints = true
  live_weights = true
  keeps = true
  subjects = 0
}
kind "k1" {
  count = 6
  slots = 8
  speed = [1.2, 1.6]
}
kind "k2" {
  count = 14
  slots = 2
  speed = [0.5, 0.8]
}
class "lookup" {
  share = 0.45
  work = 0.15
  spread = 0.5
  aim = "120ms"
  stretch = 2.5
  give_up = "5s"
  worth = 2
  effect = "safe"
}
class "report" {
  share = 0.2
  work = 0.6
  spread = 0.3
  aim = "200ms"
  stretch = 1.75
  give_up = "7500ms"
  worth = 2
  effect = "safe"
  wide = 0.2
}
class "update" {
  share = 0.18
  work = 0.6
  spread = 0.5
  aim = "200ms"
  stretch = 2
  give_up = "7500ms"
  worth = 2
  effect = "keyed"
  scope = "zone"
  window = "12s"
  wide = 0.2
}
class "order" {
  share = 0.17
  work = 0.6
  spread = 0.5
  aim = "200ms"
  stretch = 2
  give_up = "7500ms"
  worth = 6
  effect = "unsafe"
  wide = 0.2
}
fault "heavy-tail" {
  at = "5s"
  for = "12s"
  share = 1
  size = 29
}

variant "module" {}
variant "random" { policy = "random" }
variant "round-robin" { policy = "round-robin" }
variant "least-outstanding" { policy = "least-outstanding" }
variant "two-choices" { policy = "two-choices" }
variant "lud" { policy = "lud" }
