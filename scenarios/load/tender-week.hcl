# A day of tender week in one minute: the morning ramp, the day's two peaks, bursts in the afternoon, and one account that
# sends three times its usual traffic.
class   = "price-part"
give_up = "5s"

phase "ramp" {
  for  = "15s"
  rate = 10
  to   = 150
}
phase "day" {
  for  = "30s"
  rate = 200
}
phase "burst" {
  for   = "15s"
  rate  = 80
  to    = 300
  every = "3s"
  last  = "500ms"
}

account "deeside-aero" {
  share = 0.23
  times = 3
}
account "gwent-pumps" { share = 0.19 }
account "taff-marine" { share = 0.18 }
account "cwm-trailers" { share = 0.18 }
account "bryn-fixtures" { share = 0.14 }
account "ogwen-tools" { share = 0.08 }

subjects {
  number = 400
  zipf   = 1.1
}
retry {
  most   = 1
  share  = 0.5
  wait   = "100ms"
  honour = true
}
