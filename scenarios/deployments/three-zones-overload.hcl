# Like three-zones.hcl, with a burst while load reports are delayed: 85% of capacity.
title = "three-zones-overload"
seeds = 6

world {
  span        = "24s"
  rate        = 77.9
  dispatchers = 3
  zones = 3
  cross = "15ms"
  cross_price = 0.03
  memory = 0.55
  queue = 2.5
  keeps = true
  hints = true
  live_weights = true
  pushed = true
  answers = true
  report_delay = "250ms"
  handshake = 2
  subjects = 0
}
kind "k1" {
  count = 4
  slots = 4
  speed = [1.1, 1.5]
}
kind "k2" {
  count = 2
  slots = 4
  speed = [0.85, 1.1]
}
kind "k3" {
  count = 4
  slots = 5
  speed = [0.59, 0.8]
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
fault "burst" {
  at = "6s"
  for = "8s"
  share = 1
  size = 1.8
}
fault "unheard" {
  at = "6s"
  for = "14s"
  share = 1
}

variant "module" {}
variant "random" { policy = "random" }
variant "round-robin" { policy = "round-robin" }
variant "least-outstanding" { policy = "least-outstanding" }
variant "two-choices" { policy = "two-choices" }
variant "lud" { policy = "lud" }
