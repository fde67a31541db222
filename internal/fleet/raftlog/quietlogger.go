package raftlog

import (
	"fmt"
	"log/slog"
)

// quiet passes raft's warnings on, and the rest for those who look for faults.
type quiet struct{ log *slog.Logger }

func (q quiet) Debug(v ...any)              { q.log.Debug(fmt.Sprint(v...)) }
func (q quiet) Debugf(f string, v ...any)   { q.log.Debug(fmt.Sprintf(f, v...)) }
func (q quiet) Info(v ...any)               { q.log.Debug(fmt.Sprint(v...)) }
func (q quiet) Infof(f string, v ...any)    { q.log.Debug(fmt.Sprintf(f, v...)) }
func (q quiet) Warning(v ...any)            { q.log.Warn(fmt.Sprint(v...)) }
func (q quiet) Warningf(f string, v ...any) { q.log.Warn(fmt.Sprintf(f, v...)) }
func (q quiet) Error(v ...any)              { q.log.Error(fmt.Sprint(v...)) }
func (q quiet) Errorf(f string, v ...any)   { q.log.Error(fmt.Sprintf(f, v...)) }
func (q quiet) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (q quiet) Fatalf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
func (q quiet) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (q quiet) Panicf(f string, v ...any)   { panic(fmt.Sprintf(f, v...)) }
