package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"brassdale/internal/decisions/configversions"
	"brassdale/internal/fleet"
)

// requestTimeout is how long a command waits for a dispatcher's answer.
const requestTimeout = 5 * time.Second

// fleetClient sends requests to one dispatcher of a fleet. Its fields are the flags that the commands on a fleet share.
type fleetClient struct {
	address string // of the dispatcher's fleet listener
	reason  string // of a change, recorded with it
	asJSON  bool
}

// record returns the fleet's record with its history, as a voter knows it.
func (client *fleetClient) record(ctx context.Context) (configversions.Record, error) {
	var got struct{ Record configversions.Record }
	err := client.call(ctx, "record", nil, &got)
	return got.Record, err
}

// status returns the dispatcher's status, which includes its view of the fleet.
func (client *fleetClient) status(ctx context.Context) (status fleet.Status, err error) {
	err = client.call(ctx, "status", nil, &status)
	return status, err
}

// statusCommand makes a command that prints the dispatcher's status, as a table or as JSON.
func (client *fleetClient) statusCommand(use, short string, table func(io.Writer, fleet.Status)) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs, RunE: func(command *cobra.Command, _ []string) error {
		status, err := client.status(command.Context())
		if err != nil {
			return err
		}
		return client.printOutput(command, status, func(w io.Writer) { table(w, status) })
	}}
}

// printOutput prints a value as JSON if --json is set, else as a table.
func (client *fleetClient) printOutput(command *cobra.Command, value any, table func(io.Writer)) error {
	if client.asJSON {
		encoder := json.NewEncoder(command.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	writer := tabwriter.NewWriter(command.OutOrStdout(), 0, 4, 2, ' ', 0)
	table(writer)
	return writer.Flush()
}

// call sends a request to the dispatcher, POST with a body and GET without, and decodes the answer. If the
// status is not 200, the error has the status and the dispatcher's reason.
func (client *fleetClient) call(ctx context.Context, resource string, body []byte, to any) error {
	status, text, err := fleet.Call(ctx, &http.Client{Transport: &http.Transport{}}, "http://"+client.address+"/council/"+resource, body, time.Now().Add(requestTimeout))
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		var refusal struct{ Why string }
		_ = json.Unmarshal(text, &refusal) // without a reason the error has the status only
		return fmt.Errorf("%d: %s", status, refusal.Why)
	}
	return json.Unmarshal(text, to)
}
