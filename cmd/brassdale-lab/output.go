package main

import (
	"cmp"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/schollz/progressbar/v3"
)

// resultDirectory returns the directory for results: the parameter out, or a directory named after the time if out is empty.
func resultDirectory(out string) string {
	return cmp.Or(out, filepath.Join("results", time.Now().UTC().Format("2006-01-02T150405")))
}

// progressBar shows the progress of a command on a terminal; total is -1 if it is unknown.
func progressBar(total int, what string) *progressbar.ProgressBar {
	return progressbar.NewOptions(total, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription(what),
		progressbar.OptionSetVisibility(isTerminal(os.Stderr)), progressbar.OptionClearOnFinish(), progressbar.OptionShowCount())
}

// isTerminal reports whether a file is a terminal.
func isTerminal(file *os.File) bool {
	info, err := file.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// revision returns the commit that this binary was built from, as far as it is known.
func revision() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				return setting.Value[:min(len(setting.Value), 12)]
			}
		}
	}
	return "unknown"
}
