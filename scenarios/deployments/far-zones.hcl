# Zones so far apart that the one-way delay exceeds what a latency objective leaves: 60% of capacity.
title = "far-zones"
seeds = 6

world {
  span        = "24s"
  rate        = 76.9
  dispatchers = 6
  zones = 3
  cross = "70ms"
  cross_price = 0.03
  answers = true
  queue = 3
  hints = true
  pushed = true
  handshake = 1
  subjects = 0
}
kind "k1" {
  count = 6
  slots = 4
  speed = [0.9, 1.2]
}
kind "k2" {
  count = 9
  slots = 4
  speed = [0.8, 1.1]
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
fault "slow" {
  at = "6s"
  for = "10s"
  share = 0.15
}

variant "module" {}
variant "random" { policy = "random" }
variant "round-robin" { policy = "round-robin" }
variant "least-outstanding" { policy = "least-outstanding" }
variant "two-choices" { policy = "two-choices" }
variant "lud" { policy = "lud" }
