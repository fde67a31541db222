# Workers that accept few connections, which are reset once: 70% of capacity.
title = "few-connections"
seeds = 6

world {
  span        = "24s"
  rate        = 622.2
  dispatchers = 10
  answers = true
  handshake = 2
  connections = 40
  queue = 6
  pushed = true
  subjects = 0
}
kind "k1" {
  count = 16
  slots = 4
  speed = [0.9, 1.1]
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
fault "reset" {
  at = "6s"
  for = "1s"
  share = 0.3
}

variant "module" {}
variant "random" { policy = "random" }
variant "round-robin" { policy = "round-robin" }
variant "least-outstanding" { policy = "least-outstanding" }
variant "two-choices" { policy = "two-choices" }
variant "lud" { policy = "lud" }
