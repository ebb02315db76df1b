package org.dahliapass.decisions.configuration;

/** A value that the configuration store holds. */
public sealed interface StoreItem permits Head, MergeableItem {}
