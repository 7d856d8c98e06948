// Package wire holds the protocol buffer definitions of the log records and of
// the messages between instances. The generated code is committed in recordpb
// and peerpb; generate.sh regenerates it and needs protoc.
package wire

//go:generate sh generate.sh
