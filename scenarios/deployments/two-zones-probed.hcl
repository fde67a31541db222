# Two zones, load reports by probe, workers that leave and start: 70% of capacity.
title = "two-zones-probed"
seeds = 6

world {
  span        = "24s"
  rate        = 118.4
  dispatchers = 6
  zones = 2
  cross = "8ms"
  cross_price = 0.02
  queue = 4
  memory = 0.4
  subjects = 0
}
kind "k1" {
  count = 10
  slots = 4
  speed = [0.9, 1.1]
}
kind "k2" {
  count = 6
  slots = 8
  speed = [0.7, 0.9]
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
fault "drain" {
  at = "5s"
  for = "6s"
  share = 0.2
}
fault "restart" {
  at = "12s"
  for = "1s"
  share = 0.2
}

variant "module" {}
variant "random" { policy = "random" }
variant "round-robin" { policy = "round-robin" }
variant "least-outstanding" { policy = "least-outstanding" }
variant "two-choices" { policy = "two-choices" }
variant "lud" { policy = "lud" }
