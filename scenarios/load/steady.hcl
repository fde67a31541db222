# A steady rate for ten seconds: a first look at a dispatcher.
class   = "price-part"
give_up = "5s"
phase "poisson" {
  for  = "10s"
  rate = 50
}
