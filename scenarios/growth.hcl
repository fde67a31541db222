# The scheduler from the size of today's deployment to fifty times that size, without faults.
title = "growth of the works"
seeds = 3

world {
  span = "20s"
}

variant "13 boxes, 2 dispatchers" {}
variant "130 boxes, 4 dispatchers" {
  scale = 10
  set { dispatchers = 4 }
}
variant "650 boxes, 10 dispatchers" {
  scale = 50
  set { dispatchers = 10 }
}
