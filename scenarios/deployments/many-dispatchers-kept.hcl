# Many dispatchers in two zones, cancelled queued jobs that still run: 75% of capacity.
title = "many-dispatchers-kept"
seeds = 6

world {
  span        = "24s"
  rate        = 323.6
  dispatchers = 16
  zones = 2
  cross = "12ms"
  cross_price = 0.03
  answers = true
  keeps = true
  queue = 2
  hints = true
  live_weights = true
  pushed = true
  handshake = 1
  subjects = 0
}
kind "k1" {
  count = 40
  slots = 5
  speed = [0.7, 1.3]
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
fault "unheard" {
  at = "5s"
  for = "10s"
  share = 1
}
fault "burst" {
  at = "8s"
  for = "5s"
  share = 1
  size = 1.5
}

variant "module" {}
variant "random" { policy = "random" }
variant "round-robin" { policy = "round-robin" }
variant "least-outstanding" { policy = "least-outstanding" }
variant "two-choices" { policy = "two-choices" }
variant "lud" { policy = "lud" }
