# A steady rate for ten seconds, as a first test of a dispatcher.
class   = "price-part"
give_up = "5s"
phase "poisson" {
  for  = "10s"
  rate = 50
}
