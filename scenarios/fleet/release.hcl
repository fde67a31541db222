# A release of workers and dispatchers at the same time, during which discovery is overloaded and moves:
#   bin/brassdale-lab fleet scenarios/fleet/release.hcl --seed 7 --out results/x
title     = "release under an overbooked discovery that moves"
processes = 20
voters    = 0
span      = "20s"
rate      = 60

release {
  at       = "2s"
  drained  = 0.25   # share of the workers that drain
  anew     = 0.25   # share of the workers that restart
  rolling  = "500ms" # between two steps, each of which restarts a tenth of the dispatchers
  moves    = "4500ms"
  told     = "1s"   # from the move to SIGHUP; until then nothing listens at the address that the dispatchers know
  calls    = 15     # calls that discovery serves a second
  patience = "500ms"
}
