package org.dahliapass.decisions.configuration;

/** What kind of value a key of the configuration store holds. */
public enum StoreKind {
    /** The {@link Head}. */
    HEAD,
    /** A {@link TemplateText}. */
    TEXT,
    /** A {@link Pointer}. */
    POINTER,
    /** A {@link CustomerIndex}. */
    CUSTOMERS
}
