# Four zones in two regions. One zone is lost completely and returns with cold workers, while processes are cut off, frozen and killed:
#   bin/brassdale-lab fleet scenarios/fleet/failover.hcl --seed 7 --processes 9 --out results/x
title     = "a zone is lost"
processes = 9
voters    = 5
bound     = "2s"
span      = "45s"
proposals = "20s"
every     = "4s"
longest   = "3s"
faults    = ["cut", "one-way", "freeze", "kill", "delayed"]

towns {
  zones     = 4
  regions   = 2
  boxes     = 12
  load      = 0.55
  headroom  = 0.1
  return_in = "10s"
  fault "lost" {
    at   = "8s"
    for  = "12s"
    zone = 1
  }
}
