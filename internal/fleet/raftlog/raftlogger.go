package raftlog

import (
	"fmt"
	"log/slog"
)

// raftLogger is the logger of the raft library. It logs warnings and errors at their own level, and the rest at debug level.
// Fatal and Panic panic, as raft requires: raft calls them when one of its invariants is violated.
type raftLogger struct{ log *slog.Logger }

// Debug implements raft.Logger.
func (l raftLogger) Debug(v ...any) { l.log.Debug(fmt.Sprint(v...)) }

// Debugf implements raft.Logger.
func (l raftLogger) Debugf(format string, v ...any) { l.log.Debug(fmt.Sprintf(format, v...)) }

// Info implements raft.Logger.
func (l raftLogger) Info(v ...any) { l.log.Debug(fmt.Sprint(v...)) }

// Infof implements raft.Logger.
func (l raftLogger) Infof(format string, v ...any) { l.log.Debug(fmt.Sprintf(format, v...)) }

// Warning implements raft.Logger.
func (l raftLogger) Warning(v ...any) { l.log.Warn(fmt.Sprint(v...)) }

// Warningf implements raft.Logger.
func (l raftLogger) Warningf(format string, v ...any) { l.log.Warn(fmt.Sprintf(format, v...)) }

// Error implements raft.Logger.
func (l raftLogger) Error(v ...any) { l.log.Error(fmt.Sprint(v...)) }

// Errorf implements raft.Logger.
func (l raftLogger) Errorf(format string, v ...any) { l.log.Error(fmt.Sprintf(format, v...)) }

// Fatal implements raft.Logger.
func (l raftLogger) Fatal(v ...any) { panic(fmt.Sprint(v...)) }

// Fatalf implements raft.Logger.
func (l raftLogger) Fatalf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }

// Panic implements raft.Logger.
func (l raftLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }

// Panicf implements raft.Logger.
func (l raftLogger) Panicf(format string, v ...any) { panic(fmt.Sprintf(format, v...)) }
