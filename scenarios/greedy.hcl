# One account sends a multiple of its share while all workers are well utilised.
title = "one greedy account"
seeds = 20

world {
  span = "30s"
  rate = 200
}

variant "as agreed" {}
variant "twice its share" {
  set { greedy = 2 }
}
variant "five times its share" {
  set { greedy = 5 }
}
variant "five times, random" {
  policy = "random"
  set { greedy = 5 }
}
