// HTTP/1.1 over libev: messages, an incremental parser, a server and a pooled client. Requests are never
// pipelined.
#pragma once
#include "http_client.h"
#include "http_message.h"
#include "http_parser.h"
#include "http_server.h"
#include "socket.h"
#include "traffic.h"
