// Package proxy is the node as a daemon: it answers callers by the configuration that
// it holds, and keeps a subscription to a relay for newer ones.
//
// # Starting
//
// A node must never serve an older version than it did before it stopped. With a data
// folder, what is in force was made durable first, so the node starts from its file at
// once. Without one it cannot know, so it waits until a state is confirmed that was
// current after the node's start; until then it refuses calls as not run.
package proxy
