# A calm works with a gentle load: what `brassdale-lab demo` plays.
title = "demo"
seeds = 1

world {
  rate = 60
}

variant "calm" {}
