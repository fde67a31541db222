# The comparison of "A New Server Selection Strategy for Reliable Server Pooling in Widely Distributed Environments": ten
# pool elements that process up to four requests at once and reject further ones, pool users with one request each at a time,
# a target utilisation of 80%, and an increasing network delay. The request size is 10 s, with ten users for each element. As
# in the paper, one component selects. A request then takes one network delay to its element, and a load value one back.
title = "the paper's comparison: handling speed over the network's delay"
seeds = 25

world {
  span        = "60m"
  rate        = 0.8
  work        = 10
  spread      = 0
  users       = 100
  dispatchers = 1
  bays        = 1
  subjects    = 0
  fetch       = 0
  retries     = 0
  attempts    = 1000
  give_up     = "100h"
  push        = true
  reports     = "1000h"
}

kind "element" {
  count   = 10
  slots   = 4
  speed   = [1, 1]
  sharing = true
}

variant "LUD 0ms" {
  policy = "lud"
  set { delay = "0ms" }
}
variant "LU 0ms" {
  policy = "lu"
  set { delay = "0ms" }
}
variant "RR 0ms" {
  policy = "round-robin"
  set { delay = "0ms" }
}
variant "RAND 0ms" {
  policy = "random"
  set { delay = "0ms" }
}
variant "LUD 250ms" {
  policy = "lud"
  set { delay = "250ms" }
}
variant "LU 250ms" {
  policy = "lu"
  set { delay = "250ms" }
}
variant "RR 250ms" {
  policy = "round-robin"
  set { delay = "250ms" }
}
variant "RAND 250ms" {
  policy = "random"
  set { delay = "250ms" }
}
variant "LUD 500ms" {
  policy = "lud"
  set { delay = "500ms" }
}
variant "LU 500ms" {
  policy = "lu"
  set { delay = "500ms" }
}
variant "RR 500ms" {
  policy = "round-robin"
  set { delay = "500ms" }
}
variant "RAND 500ms" {
  policy = "random"
  set { delay = "500ms" }
}
variant "LUD 1s" {
  policy = "lud"
  set { delay = "1s" }
}
variant "LU 1s" {
  policy = "lu"
  set { delay = "1s" }
}
variant "RR 1s" {
  policy = "round-robin"
  set { delay = "1s" }
}
variant "RAND 1s" {
  policy = "random"
  set { delay = "1s" }
}
