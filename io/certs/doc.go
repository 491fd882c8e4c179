// Package certs loads certificates for mutual TLS.
package certs
