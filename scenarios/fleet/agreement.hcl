# Dispatchers that agree on rules, with all kinds of faults between them:
#   bin/brassdale-lab fleet scenarios/fleet/agreement.hcl --seed 7 --processes 9 --out results/x
title     = "agreement under faults"
processes = 9
voters    = 5
bound     = "2s"
replace   = "4s"
span      = "20s"
every     = "700ms"
longest   = "5s"
rate      = 40
proposals = "900ms"
