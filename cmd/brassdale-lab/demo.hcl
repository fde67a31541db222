# A calm deployment with a light load, which `brassdale-lab demo` runs.
title = "demo"
seeds = 1

world {
  rate = 60
}

variant "calm" {}
