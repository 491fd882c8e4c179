// Package model is a queueing model of a zone's backend servers, for
// experiments with admission and with the choice of a group.
//
// A Zone holds groups that batch continuously: up to Slots requests run at
// once in a group, the others wait in order of arrival. A group prefills one
// prompt at a time, for a time that grows with the prompt's tokens that its
// prefix cache lacks, and then decodes all of its requests together, at a
// time for each token that grows with the batch. The cache holds a limited
// number of blocks and drops those unused for longest. Load reports and cache
// events become visible with a lag, and some events get lost. A straggler does
// all of this slower by a factor.
//
// A Zone is event-driven and pure: the time and the random numbers are input.
// Its owner asks Next for the time of the next event and calls Advance.
package model
