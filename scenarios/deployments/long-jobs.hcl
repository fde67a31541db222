# Jobs of seconds without progress messages, some of which take two slots: 70% of capacity.
title = "long-jobs"
seeds = 6

world {
  span        = "24s"
  rate        = 23.1
  dispatchers = 3
  answers = true
  queue = 4
  hints = true
  memory = 0.6
  subjects = 0
}
kind "k1" {
  count = 10
  slots = 4
  speed = [0.7, 1.3]
}
class "render" {
  share = 0.7
  work = 1.2
  spread = 0.6
  aim = "1s"
  stretch = 1.5
  give_up = "20s"
  worth = 1
  effect = "safe"
  wide = 0.3
}
class "sync" {
  share = 0.3
  work = 0.4
  spread = 0.4
  aim = "500ms"
  stretch = 2
  give_up = "10s"
  worth = 3
  effect = "keyed"
  scope = "all"
  window = "30s"
}
fault "slow" {
  at = "5s"
  for = "20s"
  share = 0.2
}

variant "module" {}
variant "random" { policy = "random" }
variant "round-robin" { policy = "round-robin" }
variant "least-outstanding" { policy = "least-outstanding" }
variant "two-choices" { policy = "two-choices" }
variant "lud" { policy = "lud" }
