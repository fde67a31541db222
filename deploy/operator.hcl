# An operator's file: a block for each part of brassdale that the platform does not ask for. What has no block is off.
# `brassdale check FILE` tells what is wrong with a file, or what would be in force; start with
# `brassdale serve --operator deploy/operator.hcl`.

# Server-sent events for clients that watch their jobs.
front "progress" {
  listen   = "127.0.0.1:8480" # an address of its own; off loopback only with cleartext = true
  upstream = "lines"          # how endpoints tell of a job: "lines" (the platform's JSON) or "events"
  jobs     = 2048             # most jobs remembered at a time; past it new ones are refused
  keep_mb  = 24               # and most memory for their answers
}
