// Package peerpb holds the messages and the service of the protocol between the
// processes of the system. All other Go files of the package are generated from
// peer.proto by make proto.
package peerpb
