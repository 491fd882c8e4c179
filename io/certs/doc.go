// Package certs loads the certificates with which two sides of a connection
// prove to each other who they are (mutual TLS).
package certs
