# A release of boxes and dispatchers at once, with discovery overbooked and moved in the middle of it:
#   bin/brassdale-lab fleet scenarios/fleet/release.hcl --seed 7 --out results/x
title     = "release under an overbooked discovery that moves"
processes = 20
voters    = 0
span      = "20s"
rate      = 60

release {
  at       = "2s"
  drained  = 0.25   # of the boxes leave
  anew     = 0.25   # and as many start anew
  rolling  = "500ms" # between two steps of a tenth of the dispatchers
  moves    = "4500ms"
  told     = "1s"   # until SIGHUP nobody is where discovery was
  calls    = 15     # that discovery works through a second
  patience = "500ms"
}
