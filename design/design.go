// Package design defines the admin API of eiderfold in goa's design language. The
// code in gen is generated from it and committed.
//
// # Usage
//
// After a change, run in the root of the module:
//
//	go tool goa gen eiderfold/design
package design

import . "goa.design/goa/v3/dsl" //nolint:revive // The goa DSL is meant to be dot-imported.

var _ = API("eiderfold", func() {
	Title("Eiderfold administration")
	Description("Publishes templates and client accounts, and shows what is in force.")
	Version("1.0")
})

// TeamToken is the bearer token of a team, sent as "Authorization: Bearer TOKEN".
var TeamToken = APIKeySecurity("token", func() {
	Description("A team's bearer token; the settings say which templates it may change.")
})

// FaultBody is the response body of every error.
var FaultBody = ResultType("application/vnd.eiderfold.fault", func() {
	TypeName("Fault")
	ErrorName("name", String, "Name of the error kind.")
	Attributes(func() {
		Attribute("name")
		Attribute("code", Int, "Numbered result code, see docs/CODES.md.", func() { Example(40) })
		Attribute("message", String, "What is wrong, with file, line and field where there is one.")
		Attribute("ours", String, "On a conflict: the change that was refused.")
		Attribute("theirs", String, "On a conflict: the change that is in force.")
		Required("name", "code", "message")
	})
})

// Revision identifies a published change of a template or account.
var Revision = Type("Revision", func() {
	Attribute("template", String, "Name of the template.")
	Attribute("account", String, "Client account; empty for the template itself.")
	Attribute("sequence", UInt64, "Sequence number of the shard that holds the value; grows with every change.")
	Attribute("publish_id", String, "Identifier of the change, chosen by the publisher.")
	Attribute("publisher", String, "Team that published.")
	Attribute("shard", String, "Store key of the shard that holds the value.")
	Required("template", "sequence", "publish_id", "publisher", "shard")
})

// Document is a published template or account with its revision.
var Document = Type("Document", func() {
	Attribute("revision", Revision)
	Attribute("source", String, "YAML source as published.")
	Required("revision", "source")
})

// ShardState is the state of a shard on a node.
var ShardState = Type("ShardState", func() {
	Attribute("node", String)
	Attribute("shard", String)
	Attribute("sequence", UInt64)
	Attribute("reachable", Boolean, "False if the node did not respond; sequence is then the last one received.")
	Required("node", "shard", "sequence", "reachable")
})

var _ = Service("admin", func() {
	Description("Templates, client accounts and the state of the fleet.")
	Security(TeamToken)
	Error("invalid", FaultBody, "The document is invalid; nothing was changed.")
	Error("conflict", FaultBody, "The value was changed concurrently.")
	Error("forbidden", FaultBody, "The token does not carry the right.")
	Error("missing", FaultBody, "The template or account does not exist.")
	Error("unavailable", FaultBody, "The store does not respond; the message says whether the change may have taken effect.")
	HTTP(func() {
		Path("/v1")
		Response("invalid", StatusUnprocessableEntity)
		Response("conflict", StatusConflict)
		Response("forbidden", StatusForbidden)
		Response("missing", StatusNotFound)
		Response("unavailable", StatusServiceUnavailable)
	})

	Method("publish_template", func() {
		Description("Publishes a template. It is refused if base is set and is not the sequence in force.")
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("template", String)
			Attribute("source", String, "YAML source.")
			Attribute("file", String, "Name of the file, for error messages.")
			Attribute("publish_id", String, "Identifier chosen by the publisher; repeating it has no further effect.")
			Attribute("base", UInt64, "Sequence that the change is based on; 0 for any.")
			Required("template", "source", "publish_id")
		})
		Result(Revision)
		HTTP(func() { PUT("/templates/{template}"); Header("token:Authorization"); Response(StatusOK) })
	})
	Method("list_templates", func() {
		Payload(func() { APIKey("token", "token", String) })
		Result(ArrayOf(Revision))
		HTTP(func() { GET("/templates"); Header("token:Authorization"); Response(StatusOK) })
	})
	Method("show_template", func() {
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("template", String)
			Required("template")
		})
		Result(Document)
		HTTP(func() { GET("/templates/{template}"); Header("token:Authorization"); Response(StatusOK) })
	})
	Method("template_history", func() {
		Description("Lists the last published versions, newest first.")
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("template", String)
			Required("template")
		})
		Result(ArrayOf(Document))
		HTTP(func() { GET("/templates/{template}/history"); Header("token:Authorization"); Response(StatusOK) })
	})
	Method("set_account", func() {
		Description("Instantiates a template for a client account, or changes its parameters.")
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("template", String)
			Attribute("account", String)
			Attribute("parameters", MapOf(String, String), "Values by parameter name.")
			Attribute("publish_id", String)
			Attribute("base", UInt64)
			Required("template", "account", "publish_id")
		})
		Result(Revision)
		HTTP(func() {
			PUT("/templates/{template}/accounts/{account}")
			Header("token:Authorization")
			Response(StatusOK)
		})
	})
	Method("remove_account", func() {
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("template", String)
			Attribute("account", String)
			Attribute("publish_id", String)
			Required("template", "account", "publish_id")
		})
		Result(Revision)
		HTTP(func() {
			DELETE("/templates/{template}/accounts/{account}")
			Param("publish_id")
			Header("token:Authorization")
			Response(StatusOK)
		})
	})
	Method("show_account", func() {
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("template", String)
			Attribute("account", String)
			Required("template", "account")
		})
		Result(Document)
		HTTP(func() {
			GET("/templates/{template}/accounts/{account}")
			Header("token:Authorization")
			Response(StatusOK)
		})
	})
	Method("list_accounts", func() {
		Payload(func() {
			APIKey("token", "token", String)
			Attribute("template", String)
			Required("template")
		})
		Result(ArrayOf(Revision))
		HTTP(func() { GET("/templates/{template}/accounts"); Header("token:Authorization"); Response(StatusOK) })
	})
	Method("status", func() {
		Description("Shows which sequence of each shard is in force on each live node.")
		Payload(func() { APIKey("token", "token", String) })
		Result(ArrayOf(ShardState))
		HTTP(func() { GET("/status"); Header("token:Authorization"); Response(StatusOK) })
	})
	Method("dump", func() {
		Description("Dumps the decision state of this node.")
		Payload(func() { APIKey("token", "token", String) })
		Result(Any)
		HTTP(func() { GET("/dump"); Header("token:Authorization"); Response(StatusOK) })
	})
})
