# A third of the workers restarts, twice: 55% of capacity.
title = "cold-release"
seeds = 6

world {
  span        = "24s"
  rate        = 66.5
  dispatchers = 3
  answers = true
  queue = 3
  hints = true
  pushed = true
  memory = 0.5
  subjects = 0
}
kind "k1" {
  count = 14
  slots = 4
  speed = [0.8, 1.2]
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
fault "restart" {
  at = "4s"
  for = "1s"
  share = 0.3
}
fault "restart" {
  at = "11s"
  for = "1s"
  share = 0.3
}

variant "module" {}
variant "random" { policy = "random" }
variant "round-robin" { policy = "round-robin" }
variant "least-outstanding" { policy = "least-outstanding" }
variant "two-choices" { policy = "two-choices" }
variant "lud" { policy = "lud" }
