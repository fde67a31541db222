# What agreement costs without faults:
#   bin/brassdale-lab fleet scenarios/fleet/quiet.hcl --processes 50 --out results/x
title     = "agreement without faults"
processes = 9
voters    = 5
bound     = "2s"
span      = "20s"
rate      = 40
proposals = "5s"
