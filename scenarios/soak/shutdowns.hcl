# Real dispatchers that get series of signals while clients use their connections, are moved to lagging replicas of discovery, and get many
# idle connections:
#   brassdale-lab soak scenarios/soak/shutdowns.hcl --seeds 1-50
title        = "shutdowns"
dispatchers  = [1, 4]
workers      = [4, 8]
span         = "24s"
every        = "1200ms"
rate         = 30
late_weights = [0, 0.1]

events = [
  "use-until-kill", "use-until-kill", "hup-hup-term", "term-term", "bad-hup", "term-at-start", "term-at-handover",
  "crowd-drain", "crowd-down", "returned-move", "returned-move", "restarted-move", "ended-move",
  "drain", "join", "restart", "worker-hangs", "worker-resets", "move", "reload", "clients-leave",
]

# A third of the runs use one of these.
failures = [
  "accept4=ENOBUFS:4,epoll_pwait=EINTR:20",
  "accept4=ECONNABORTED:5,socket=ENOBUFS:20,connect=EADDRNOTAVAIL:25",
  "read=short:6,write=short:4",
]
