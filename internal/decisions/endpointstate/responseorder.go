package endpointstate

// ResponseOrder is how a response compares with the earlier responses of the same service.
type ResponseOrder uint8

// The orders of a response.
const (
	Current   ResponseOrder = iota // its revision is not lower than any earlier one, or the service has started a new sequence
	Overtaken                      // its revision is lower, and a current response was received after its call was made
	Lagging                        // its revision is lower, and the response is not Overtaken
)
