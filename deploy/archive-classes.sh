#!/bin/sh
# Archives the classes that a gateway VM loads, so that it starts with less processor time.
# A VM without the archive runs all the same, only more slowly at first.
set -eu
gateway=target/gateway
java -XX:-UsePerfData -XX:DumpLoadedClassList=$gateway/classes.lst \
    -cp "$gateway/dahliapass-gateway.jar:lab/target/lab-0.1.0.jar:lab/target/lib/*" \
    org.dahliapass.lab.GatewayRehearsal > $gateway/rehearsal.log
java -XX:-UsePerfData -Xshare:dump -XX:SharedClassListFile=$gateway/classes.lst \
    -XX:SharedArchiveFile=$gateway/classes.jsa -Xlog:cds=off -Xlog:cds+dynamic=off \
    -cp $gateway/dahliapass-gateway.jar > $gateway/archive.log 2>&1
