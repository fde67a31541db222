package command

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"
)

// watchInterval is the time between two requests of 'brassdale fleet watch'.
const watchInterval = 200 * time.Millisecond

// watchCommand makes 'brassdale fleet watch', which prints a line at each change until it is interrupted.
func (client *fleetClient) watchCommand() *cobra.Command {
	return &cobra.Command{Use: "watch", Short: "Print the versions that a dispatcher applies, at each change", Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			last := ""
			for command.Context().Err() == nil {
				text := client.watchLine(command.Context())
				if text != last {
					fmt.Fprintf(command.OutOrStdout(), "%s %s\n", time.Now().Format(time.TimeOnly), text)
					last = text
				}
				select {
				case <-command.Context().Done():
				case <-time.After(watchInterval):
				}
			}
			return nil
		}}
}

// watchLine returns what the dispatcher applies now, or the error of the request.
func (client *fleetClient) watchLine(ctx context.Context) string {
	status, err := client.status(ctx)
	if err != nil {
		return err.Error()
	}
	text := fmt.Sprintf("acting on %v lapsed %t, in force %d, leader's seat %d, era %d",
		status.EffectiveVersions, status.LeaseExpired, status.Record.InForce.Number, status.Leader, status.Record.Epoch)
	if announced := status.Record.Announced; announced != nil {
		text += fmt.Sprintf(", announced %d, waits for %v", announced.Number, status.WaitingFor)
	}
	return text
}
