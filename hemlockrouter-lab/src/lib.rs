//! Stand-ins, load tool and experiments; never linked by the product.
