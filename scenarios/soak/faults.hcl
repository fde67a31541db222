# Real dispatchers under all faults of the stand-ins, drawn from the seed: brassdale-lab soak scenarios/soak/*.hcl --seeds 1-50
title       = "all faults"
dispatchers = [1, 10]
workers     = [4, 8]
span        = "24s"
every       = "1200ms"
rate        = 30

# A third of the runs use one of these.
failures = [
  "accept4=ENOBUFS:4,epoll_pwait=EINTR:20",
  "accept4=ECONNABORTED:5,socket=ENOBUFS:20,connect=EADDRNOTAVAIL:25",
  "read=short:6,write=short:4",
  "epoll_ctl=ENOSPC:40,connect=ENETUNREACH:25,setsockopt=ENOBUFS:60",
]
