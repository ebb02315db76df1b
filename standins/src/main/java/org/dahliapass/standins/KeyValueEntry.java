package org.dahliapass.standins;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * An entry of the store, as its HTTP API returns it.
 *
 * @param key the key
 * @param value the value in base64
 * @param createIndex the index of the write that created the key
 * @param modifyIndex the index of the last write, acquire or release
 * @param session the ID of the session that holds the key; empty if none
 */
public record KeyValueEntry(
        @JsonProperty("Key") String key,
        @JsonProperty("Value") String value,
        @JsonProperty("CreateIndex") long createIndex,
        @JsonProperty("ModifyIndex") long modifyIndex,
        @JsonProperty("Session") @JsonInclude(JsonInclude.Include.NON_EMPTY) String session) {

    boolean isHeld() {
        return !session.isEmpty();
    }
}
